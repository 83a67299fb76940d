package org.chestnutloom.fakes.edge

/** The faults that [RowStoreStandIn] can inject. */
public enum class StoreFault {
    /** Requests are served normally. */
    NONE,

    /** Requests are refused with status 503 and have no effect. */
    REFUSE,

    /** Requests get no response and have no effect. */
    SILENT,

    /** Transactions take effect but get no response. */
    LOSE_REPLIES,
}
