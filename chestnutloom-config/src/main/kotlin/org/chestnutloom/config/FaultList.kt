package org.chestnutloom.config

import com.typesafe.config.ConfigValue
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/** Collects the faults of one document. */
internal class FaultList {
    private val faults = mutableListOf<DocumentFault>()

    fun isEmpty(): Boolean = faults.isEmpty()

    fun add(
        path: String,
        value: ConfigValue?,
        problem: String,
    ) {
        faults += DocumentFault(path, value?.let { lineOf(it) }, problem)
    }

    /** Returns the faults sorted by line; faults without a line come last. */
    fun sortedByLine(): ImmutableList<DocumentFault> = faults.sortedBy { it.line ?: Int.MAX_VALUE }.toImmutableList()

    private fun lineOf(value: ConfigValue): Int? = value.origin().lineNumber().takeIf { it > 0 }
}
