package org.chestnutloom.sidecar.dispatch

import org.chestnutloom.id.KeyId
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.mechanism.Mechanisms
import java.util.concurrent.ConcurrentHashMap

/** The keys whose calls must not start; a withdrawal is permanent. */
internal class WithdrawnKeys(
    private val mechanisms: Mechanisms,
) {
    private val keys = ConcurrentHashMap.newKeySet<KeyId>()

    /** Adds [withdrawn] and returns the keys that were not present. */
    fun add(withdrawn: List<KeyId>): List<KeyId> = withdrawn.filter { keys.add(it) }

    /** Returns whether calls of [key] must not run. */
    fun blocks(key: KeyId?): Boolean = mechanisms.has(Mechanism.WITHDRAWAL_CANCEL) && key != null && key in keys
}
