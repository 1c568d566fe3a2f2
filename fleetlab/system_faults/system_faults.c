/* Fails system calls of the process that loads it, at rates that another process may change.
 *
 * Loaded by LD_PRELOAD. The file that SYSTEM_FAULTS_CONTROL names holds `struct control`; see
 * control.py, which writes it. Without that file every call goes through unchanged.
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

#define CERTAIN 1000000u /* the rate of a fault that always comes */
#define MAX_DESCRIPTORS 65536
#define MAX_SHORT_BYTES 64

enum kind {
    ACCEPT,
    SOCKET,
    CONNECT,
    WAIT_INTERRUPTED,
    SHORT_READ,
    SHORT_WRITE,
    BROKEN_CONNECTION,
    LOG_WRITE,
    KINDS
};

struct control {
    int64_t clock_step_ns;
    uint32_t rates[KINDS]; /* in parts of CERTAIN */
    uint32_t counts[KINDS]; /* how often each came */
};

static struct control no_faults;
static struct control *control = &no_faults;
static uint64_t random_state = 88172645463325252u;
static char connected[MAX_DESCRIPTORS]; /* whether the process has made this connection itself */

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

static int comes(enum kind kind)
{
    uint32_t rate = control->rates[kind];
    if (!rate || draw(CERTAIN) >= rate)
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

static int breaks(int descriptor)
{
    return descriptor >= 0 && descriptor < MAX_DESCRIPTORS && connected[descriptor]
        && comes(BROKEN_CONNECTION);
}

static size_t shortened(enum kind kind, int descriptor, size_t size)
{
    if (size < 2 || !control->rates[kind] || !is_inet(descriptor) || !comes(kind))
        return size;
    return 1 + draw(size < MAX_SHORT_BYTES ? size : MAX_SHORT_BYTES);
}

/* ---- connections */

static void note_new(int descriptor, char made_here)
{
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS)
        connected[descriptor] = made_here;
}

int accept4(int listener, struct sockaddr *address, socklen_t *size, int flags)
{
    if (comes(ACCEPT))
        return FAIL_WITH(ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO, EINTR);
    int descriptor = REAL(accept4)(listener, address, size, flags);
    note_new(descriptor, 0);
    return descriptor;
}

int accept(int listener, struct sockaddr *address, socklen_t *size)
{
    return accept4(listener, address, size, 0);
}

int socket(int domain, int type, int protocol)
{
    if (domain == AF_INET && comes(SOCKET))
        return FAIL_WITH(ENFILE, EMFILE, ENOBUFS, ENOMEM);
    int descriptor = REAL(socket)(domain, type, protocol);
    note_new(descriptor, 0);
    return descriptor;
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size)
{
    if (address->sa_family == AF_INET && comes(CONNECT)) {
        if (draw(8) == 0) { /* interrupted, which leaves the connection in the making */
            int result = REAL(connect)(descriptor, address, size);
            if (result && errno == EINPROGRESS)
                errno = EINTR;
            return result;
        }
        return FAIL_WITH(EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ENOBUFS, ETIMEDOUT, EAGAIN);
    }
    note_new(descriptor, address->sa_family == AF_INET);
    return REAL(connect)(descriptor, address, size);
}

/* ---- waits */

int epoll_wait(int epoll, struct epoll_event *events, int count, int timeout)
{
    if (comes(WAIT_INTERRUPTED))
        return FAIL_WITH(EINTR);
    return REAL(epoll_wait)(epoll, events, count, timeout);
}

int epoll_pwait(
    int epoll, struct epoll_event *events, int count, int timeout, const sigset_t *signals)
{
    if (comes(WAIT_INTERRUPTED))
        return FAIL_WITH(EINTR);
    return REAL(epoll_pwait)(epoll, events, count, timeout, signals);
}

/* ---- reads */

ssize_t read(int descriptor, void *buffer, size_t size)
{
    if (breaks(descriptor))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET);
    return REAL(read)(descriptor, buffer, shortened(SHORT_READ, descriptor, size));
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags)
{
    if (breaks(descriptor))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET);
    return REAL(recv)(descriptor, buffer, shortened(SHORT_READ, descriptor, size), flags);
}

/* ---- writes */

ssize_t write(int descriptor, const void *buffer, size_t size)
{
    if (descriptor == STDERR_FILENO && comes(LOG_WRITE))
        return FAIL_WITH(ENOSPC, EIO, EPIPE, EAGAIN);
    if (breaks(descriptor))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, EPIPE);
    return REAL(write)(descriptor, buffer, shortened(SHORT_WRITE, descriptor, size));
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags)
{
    if (breaks(descriptor))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, EPIPE);
    return REAL(send)(descriptor, buffer, shortened(SHORT_WRITE, descriptor, size), flags);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count)
{
    if (breaks(descriptor))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, EPIPE);
    if (count > 0 && parts->iov_len) {
        size_t size = shortened(SHORT_WRITE, descriptor, parts->iov_len);
        if (size < parts->iov_len)
            return REAL(write)(descriptor, parts->iov_base, size);
    }
    return REAL(writev)(descriptor, parts, count);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags)
{
    if (breaks(descriptor))
        return FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, EPIPE);
    if (message->msg_iovlen && message->msg_iov->iov_len && !message->msg_controllen) {
        size_t size = shortened(SHORT_WRITE, descriptor, message->msg_iov->iov_len);
        if (size < message->msg_iov->iov_len)
            return REAL(send)(descriptor, message->msg_iov->iov_base, size, flags);
    }
    return REAL(sendmsg)(descriptor, message, flags);
}

/* ---- the wall clock */

#define NS_PER_S 1000000000ll

static void step(struct timespec *time)
{
    int64_t ns = time->tv_sec * NS_PER_S + time->tv_nsec + control->clock_step_ns;
    time->tv_sec = ns / NS_PER_S;
    time->tv_nsec = ns % NS_PER_S;
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    int result = REAL(clock_gettime)(clock, time);
    if (!result && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        step(time);
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
    step(&now);
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
