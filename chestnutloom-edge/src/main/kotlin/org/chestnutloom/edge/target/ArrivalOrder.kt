package org.chestnutloom.edge.target

/** Requires no ranks. */
internal object ArrivalOrder : QueueObserver
