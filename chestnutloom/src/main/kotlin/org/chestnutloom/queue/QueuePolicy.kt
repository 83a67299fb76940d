package org.chestnutloom.queue

/** The order in which queued calls start. */
public enum class QueuePolicy {
    /** Weighted fair share across client accounts, least attained service within an account. */
    FAIR,

    /** First in, first out. */
    FIFO,
}
