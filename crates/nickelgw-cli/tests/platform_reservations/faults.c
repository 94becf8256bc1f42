/* Library for LD_PRELOAD that makes system calls fail and the wall clock step in one process.
 * FAULTS_EVERY=N: every Nth call of recv, send and accept4 fails once, cycling through temporary errors that Linux documents.
 * FAULTS_STEP_S=S: the wall clock steps S seconds forward and S seconds back, five times a second; the monotonic clock is
 * not affected. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>

static long setting(const char *name) {
    const char *value = getenv(name);
    return value ? atol(value) : 0;
}

static int fails(int *counter, const int *errors, int kinds) {
    static long every = -1;
    if (every < 0) every = setting("FAULTS_EVERY");
    if (every == 0 || ++*counter % every != 0) return 0;
    errno = errors[(*counter / every) % kinds];
    return 1;
}

ssize_t recv(int fd, void *buf, size_t len, int flags) {
    static ssize_t (*next)(int, void *, size_t, int);
    static int counter;
    static const int errors[] = {EINTR};
    if (!next) next = dlsym(RTLD_NEXT, "recv");
    if (fails(&counter, errors, 1)) return -1;
    /* Also makes reads short, as send does with writes. */
    return next(fd, buf, setting("FAULTS_EVERY") && len > 64 ? 64 : len, flags);
}

ssize_t send(int fd, const void *buf, size_t len, int flags) {
    static ssize_t (*next)(int, const void *, size_t, int);
    static int counter;
    static const int errors[] = {EINTR};
    if (!next) next = dlsym(RTLD_NEXT, "send");
    if (fails(&counter, errors, 1)) return -1;
    return next(fd, buf, setting("FAULTS_EVERY") && len > 100 ? 100 : len, flags);
}

int accept4(int fd, struct sockaddr *address, socklen_t *len, int flags) {
    static int (*next)(int, struct sockaddr *, socklen_t *, int);
    static int counter;
    static const int errors[] = {ECONNABORTED, ENFILE, EINTR, ENOBUFS};
    if (!next) next = dlsym(RTLD_NEXT, "accept4");
    if (fails(&counter, errors, 4)) return -1;
    return next(fd, address, len, flags);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static int (*next)(clockid_t, struct timespec *);
    static long step_s = -1;
    struct timespec steady;
    if (!next) next = dlsym(RTLD_NEXT, "clock_gettime");
    if (step_s < 0) step_s = setting("FAULTS_STEP_S");
    int done = next(clock, now);
    if (step_s && clock == CLOCK_REALTIME) {
        next(CLOCK_MONOTONIC, &steady);
        now->tv_sec += (steady.tv_nsec / 100000000) % 2 ? step_s : -step_s;
    }
    return done;
}
