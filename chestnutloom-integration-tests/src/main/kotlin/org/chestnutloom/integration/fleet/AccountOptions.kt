package org.chestnutloom.integration.fleet

/** One client account of a test environment. */
data class AccountOptions(
    val name: String,
    val ratePerSecond: Double = 200.0,
    val burst: Int = 400,
    val weight: Int = 1,
)
