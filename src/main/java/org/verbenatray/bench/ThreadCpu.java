package org.verbenatray.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/** The processor time of the threads that were started during an action, such as those of one instance. */
final class ThreadCpu {
    /** The threads of this process. */
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** The threads that are counted. */
    private final Set<Long> counted;

    /** Creates a count. */
    private ThreadCpu(Set<Long> counted) {
        this.counted = Set.copyOf(counted);
    }

    /** Returns the ids of all live threads. */
    static Set<Long> liveThreads() {
        Set<Long> live = new HashSet<>();
        Arrays.stream(THREADS.getAllThreadIds()).forEach(live::add);
        return live;
    }

    /** Returns a count of the live threads that are not among the given earlier ones. */
    static ThreadCpu startedSince(Set<Long> before) {
        Set<Long> started = liveThreads();
        started.removeAll(before);
        return new ThreadCpu(started);
    }

    /** Returns a count of the calling thread. */
    static ThreadCpu ofThisThread() {
        return new ThreadCpu(Set.of(Thread.currentThread().getId()));
    }

    /** Returns the number of counted threads. */
    int threads() {
        return counted.size();
    }

    /** Returns the processor time of the counted threads so far in nanoseconds; ended threads count zero. */
    long nanos() {
        return counted.stream()
                .mapToLong(thread -> Math.max(0, THREADS.getThreadCpuTime(thread)))
                .sum();
    }
}
