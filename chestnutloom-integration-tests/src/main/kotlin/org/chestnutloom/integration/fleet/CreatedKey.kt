package org.chestnutloom.integration.fleet

/** An access key created by the command-line tool. */
data class CreatedKey(
    val id: String,
    val bearer: String,
)
