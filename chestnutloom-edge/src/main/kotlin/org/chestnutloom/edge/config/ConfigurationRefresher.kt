package org.chestnutloom.edge.config

/** Brings the configuration up to date on request. */
internal fun interface ConfigurationRefresher {
    /** Reads the configuration, and returns whether the one in force now is as new as the call. */
    suspend fun refresh(): Boolean
}
