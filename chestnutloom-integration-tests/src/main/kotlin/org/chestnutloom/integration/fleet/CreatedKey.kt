package org.chestnutloom.integration.fleet

/** An access key that the operators' tool created. */
data class CreatedKey(
    val id: String,
    val bearer: String,
)
