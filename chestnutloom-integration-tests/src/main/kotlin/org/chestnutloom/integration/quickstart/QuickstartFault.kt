package org.chestnutloom.integration.quickstart

/** Something that did not end as it should. */
internal data class QuickstartFault(
    val what: String,
) {
    override fun toString(): String = what
}
