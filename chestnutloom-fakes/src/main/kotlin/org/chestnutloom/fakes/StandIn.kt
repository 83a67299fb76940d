package org.chestnutloom.fakes

/** A stand-in for an outside system, as tests and the command line drive it. */
public interface StandIn {
    /** The port that the stand-in listens on, once started. */
    public val port: Int

    /** Starts the stand-in and returns once it listens. */
    public suspend fun start()

    /** Closes every connection and stops. */
    public suspend fun stop()
}
