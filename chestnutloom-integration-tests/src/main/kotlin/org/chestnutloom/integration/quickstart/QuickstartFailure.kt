package org.chestnutloom.integration.quickstart

/** A check of the quickstart that failed. */
internal data class QuickstartFailure(
    val description: String,
) {
    override fun toString(): String = description
}
