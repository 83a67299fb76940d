package org.chestnutloom.edge

import org.chestnutloom.edge.call.CallCodec
import org.chestnutloom.edge.feed.RowDecoder
import org.chestnutloom.edge.http.ConnectionPool
import org.chestnutloom.edge.store.RowStore

/** Speaks to the platform in its own words. */
public interface EdgeAdapter {
    /** Reads and writes the headers of requests. */
    public val calls: CallCodec

    /** Reads what operators and targets write. */
    public val environment: RowDecoder

    /** Returns the client of the platform's store, which is reached by [connections]. */
    public fun rowStore(connections: ConnectionPool): RowStore
}
