/* Makes system calls of the process that loads it fail, at rates that another process may change.
 *
 * Loaded by LD_PRELOAD. SYSTEM_FAULTS_CONTROL names a file that contains `struct control` and is
 * written by control.py. Without that file all calls are passed through unchanged.
 */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define FULL_RATE 1000000u /* the rate of a fault that always occurs */
#define MAX_DESCRIPTORS 65536
#define MAX_SHORT_BYTES 64

enum fault_kind {
    ACCEPT,
    SOCKET,
    CONNECT,
    WAIT_INTERRUPTED,
    SHORT_READ,
    SHORT_WRITE,
    BROKEN_CONNECTION,
    LOG_WRITE,
    KIND_COUNT
};

struct control {
    int64_t clock_step_ns;
    uint32_t rates[KIND_COUNT]; /* probability of each fault, in units of 1 / FULL_RATE */
    uint32_t counts[KIND_COUNT]; /* number of occurrences of each fault */
};

static struct control no_faults;
static struct control *control = &no_faults;
static uint64_t random_state = 88172645463325252u;
static char outgoing[MAX_DESCRIPTORS]; /* whether the process opened the connection */

#define REAL(name) \
    ({ \
        static __typeof__(&name) real; \
        if (!real) \
            real = (__typeof__(&name))dlsym(RTLD_NEXT, #name); \
        real; \
    })

__attribute__((constructor)) static void load_control(void)
{
    const char *path = getenv("SYSTEM_FAULTS_CONTROL");
    int descriptor = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (descriptor < 0)
        return;
    void *mapped = mmap(0, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (mapped != MAP_FAILED)
        control = mapped;
    random_state ^= (uint64_t)getpid() << 32;
}

static uint32_t draw(uint32_t below)
{
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return (uint32_t)(random_state >> 16) % below;
}

static int should_fail(enum fault_kind kind)
{
    uint32_t rate = control->rates[kind];
    if (!rate || draw(FULL_RATE) >= rate)
        return 0;
    control->counts[kind]++;
    return 1;
}

static int fail(const int *errors, uint32_t count)
{
    errno = errors[draw(count)];
    return -1;
}

#define FAIL_WITH(...) \
    ({ \
        static const int errors[] = {__VA_ARGS__}; \
        fail(errors, sizeof errors / sizeof *errors); \
    })

static int is_inet(int descriptor)
{
    int domain = 0, before = errno;
    socklen_t size = sizeof domain;
    if (getsockopt(descriptor, SOL_SOCKET, SO_DOMAIN, &domain, &size))
        domain = 0;
    errno = before;
    return domain == AF_INET;
}

static int should_break(int descriptor)
{
    return descriptor >= 0 && descriptor < MAX_DESCRIPTORS && outgoing[descriptor]
        && should_fail(BROKEN_CONNECTION);
}

static size_t limit_size(enum fault_kind kind, int descriptor, size_t size)
{
    if (size < 2 || !control->rates[kind] || !is_inet(descriptor) || !should_fail(kind))
        return size;
    return 1 + draw(size < MAX_SHORT_BYTES ? size : MAX_SHORT_BYTES);
}

/* ---- connections */

static void mark_descriptor(int descriptor, char is_outgoing)
{
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS)
        outgoing[descriptor] = is_outgoing;
}

int accept4(int listener, struct sockaddr *address, socklen_t *size, int flags)
{
    if (should_fail(ACCEPT))
        return FAIL_WITH(ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO, EINTR);
    int descriptor = REAL(accept4)(listener, address, size, flags);
    mark_descriptor(descriptor, 0);
    return descriptor;
}

int accept(int listener, struct sockaddr *address, socklen_t *size)
{
    return accept4(listener, address, size, 0);
}

int socket(int domain, int type, int protocol)
{
    if (domain == AF_INET && should_fail(SOCKET))
        return FAIL_WITH(ENFILE, EMFILE, ENOBUFS, ENOMEM);
    int descriptor = REAL(socket)(domain, type, protocol);
    mark_descriptor(descriptor, 0);
    return descriptor;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size)
{
    if (address->sa_family == AF_INET && should_fail(CONNECT)) {
        if (draw(8) == 0) { /* reports EINTR while the connection is being established */
            int result = REAL(connect)(descriptor, address, size);
            if (result && errno == EINPROGRESS)
                errno = EINTR;
            return result;
        }
        return FAIL_WITH(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ENOBUFS, ETIMEDOUT, EAGAIN);
    }
    mark_descriptor(descriptor, address->sa_family == AF_INET);
    return REAL(connect)(descriptor, address, size);
}

/* ---- waits */

int epoll_wait(int epoll, struct epoll_event *events, int count, int timeout)
{
    if (should_fail(WAIT_INTERRUPTED))
        return FAIL_WITH(EINTR);
    return REAL(epoll_wait)(epoll, events, count, timeout);
}

int epoll_pwait(
    int epoll, struct epoll_event *events, int count, int timeout, const sigset_t *signals)
{
    if (should_fail(WAIT_INTERRUPTED))
        return FAIL_WITH(EINTR);
    return REAL(epoll_pwait)(epoll, events, count, timeout, signals);
}

/* ---- reads */

ssize_t read(int descriptor, void *buffer, size_t size)
{
    if (should_break(descriptor))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET);
    return REAL(read)(descriptor, buffer, limit_size(SHORT_READ, descriptor, size));
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags)
{
    if (should_break(descriptor))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET);
    return REAL(recv)(descriptor, buffer, limit_size(SHORT_READ, descriptor, size), flags);
}

/* ---- writes */

ssize_t write(int descriptor, const void *buffer, size_t size)
{
    if (descriptor == STDERR_FILENO && should_fail(LOG_WRITE))
        return FAIL_WITH(ENOSPC, EIO, EPIPE, EAGAIN);
    if (should_break(descriptor))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, EPIPE);
    return REAL(write)(descriptor, buffer, limit_size(SHORT_WRITE, descriptor, size));
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags)
{
    if (should_break(descriptor))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, EPIPE);
    return REAL(send)(descriptor, buffer, limit_size(SHORT_WRITE, descriptor, size), flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count)
{
    if (should_break(descriptor))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, EPIPE);
    if (count > 0 && parts->iov_len) {
        size_t size = limit_size(SHORT_WRITE, descriptor, parts->iov_len);
        if (size < parts->iov_len)
            return REAL(write)(descriptor, parts->iov_base, size);
    }
    return REAL(writev)(descriptor, parts, count);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags)
{
    if (should_break(descriptor))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, EPIPE);
    if (message->msg_iovlen && message->msg_iov->iov_len && !message->msg_controllen) {
        size_t size = limit_size(SHORT_WRITE, descriptor, message->msg_iov->iov_len);
        if (size < message->msg_iov->iov_len)
            return REAL(send)(descriptor, message->msg_iov->iov_base, size, flags);
    }
    return REAL(sendmsg)(descriptor, message, flags);
}

/* ---- the wall clock */

#define NS_PER_S 1000000000ll

static void add_clock_step(struct timespec *time)
{
    int64_t ns = time->tv_sec * NS_PER_S + time->tv_nsec + control->clock_step_ns;
    time->tv_sec = ns / NS_PER_S;
    time->tv_nsec = ns % NS_PER_S;
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    int result = REAL(clock_gettime)(clock, time);
    if (!result && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        add_clock_step(time);
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone)
{
    struct timespec now;
    int result = REAL(gettimeofday)(time, zone);
    if (result)
        return result;
    now.tv_sec = time->tv_sec;
    now.tv_nsec = time->tv_usec * 1000;
    add_clock_step(&now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *result)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result)
        *result = now.tv_sec;
    return now.tv_sec;
}
