package org.chestnutloom.edge.http

import org.chestnutloom.edge.config.RequestLimits

/** Supplies the current limits for callers' requests. */
public fun interface IngressLimits {
    /** Returns the current limits. */
    public fun current(): RequestLimits
}
