package org.chestnutloom.config

import arrow.core.Either
import arrow.core.raise.either
import com.typesafe.config.ConfigObject
import com.typesafe.config.ConfigRenderOptions
import com.typesafe.config.ConfigValue
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import java.util.SortedMap
import java.util.TreeMap

/** Returns the settings that differ between the documents [old] and [new], sorted by path; either may be empty. */
public fun diffDocuments(
    old: String,
    new: String,
): Either<ImmutableList<DocumentFault>, ImmutableList<DocumentChange>> =
    either {
        val before = leavesOf(parseDocument(old).bind())
        val after = leavesOf(parseDocument(new).bind())
        (before.keys + after.keys)
            .sorted()
            .filter { before[it] != after[it] }
            .map { DocumentChange(it, before[it], after[it]) }
            .toImmutableList()
    }

private fun leavesOf(root: ConfigObject): SortedMap<String, String> =
    TreeMap<String, String>().also { leaves -> collectLeaves(root, "", leaves) }

private fun collectLeaves(
    value: ConfigValue,
    path: String,
    leaves: SortedMap<String, String>,
) {
    if (value is ConfigObject && (value.isNotEmpty() || path.isEmpty())) {
        value.forEach { (key, child) -> collectLeaves(child, joinPath(path, key), leaves) }
    } else {
        leaves[path] = value.render(ConfigRenderOptions.concise())
    }
}
