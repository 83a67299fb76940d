package org.chestnutloom.fakes

/** A test double for an external system, controlled by tests or by the command line. */
public interface StandIn {
    /** The port that the stand-in listens on; valid after [start]. */
    public val port: Int

    /** Starts the stand-in and returns when it accepts connections. */
    public suspend fun start()

    /** Closes all connections and stops the stand-in. */
    public suspend fun stop()
}
