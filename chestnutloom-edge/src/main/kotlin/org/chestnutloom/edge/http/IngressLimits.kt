package org.chestnutloom.edge.http

import org.chestnutloom.edge.config.RequestLimits

/** Supplies the limits that are in force for callers' requests. */
public fun interface IngressLimits {
    /** Returns the limits in force now. */
    public fun current(): RequestLimits
}
