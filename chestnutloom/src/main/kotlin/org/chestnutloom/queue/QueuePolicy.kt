package org.chestnutloom.queue

/** How queued calls are ordered. */
public enum class QueuePolicy {
    /** Weighted fair sharing across client accounts, least attained service within an account. */
    FAIR,

    /** First in, first out. */
    FIFO,
}
