package org.chestnutloom.edge

import org.chestnutloom.edge.call.CallCodec
import org.chestnutloom.edge.feed.RowDecoder
import org.chestnutloom.edge.http.ConnectionPool
import org.chestnutloom.edge.store.RowStore

/** Adapts the gateway to the conventions of a platform. */
public interface EdgeAdapter {
    /** Translates HTTP headers. */
    public val callCodec: CallCodec

    /** Decodes the rows written by operators and targets. */
    public val rowDecoder: RowDecoder

    /** Whether targets may fail part of their requests and differ in speed, as the deployment's contracts say. */
    public val hasUnevenTargets: Boolean

    /** Returns a client of the platform's store that uses [connections]. */
    public fun rowStore(connections: ConnectionPool): RowStore
}
