package org.chestnutloom.edge.turn

/**
 * The number of turns that a gateway still has to write, from one of its heartbeats.
 *
 * @property heartbeatSequence the sequence number of the heartbeat
 * @property turnsToWrite the number of turns that the store has not acknowledged yet
 */
public data class WriterProgress(
    public val heartbeatSequence: Long,
    public val turnsToWrite: Int,
)
