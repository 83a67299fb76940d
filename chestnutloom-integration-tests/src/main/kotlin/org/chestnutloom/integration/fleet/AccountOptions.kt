package org.chestnutloom.integration.fleet

/** Limits of a client account in a test environment. */
data class AccountOptions(
    val name: String,
    val ratePerSecond: Double = 200.0,
    val burst: Int = 400,
    val weight: Int = 1,
)
