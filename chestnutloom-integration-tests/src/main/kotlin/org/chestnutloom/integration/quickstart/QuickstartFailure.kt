package org.chestnutloom.integration.quickstart

/** Something that did not end as it should. */
internal data class QuickstartFailure(
    val description: String,
) {
    override fun toString(): String = description
}
