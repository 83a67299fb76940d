package org.chestnutloom.membership

import org.chestnutloom.id.GatewayId
import org.chestnutloom.id.ProgramId
import org.chestnutloom.id.TargetId

/** Returns the slot of [program] out of [slots]; sub-agents share the slot of their root program. */
public fun slotOf(
    program: ProgramId,
    slots: Int,
): Int = Math.floorMod(hash64(program.root), slots.toLong()).toInt()

/**
 * Returns the gateway that should own [slot] by highest-random-weight hashing, or null if [members] is empty.
 *
 * When a member joins or leaves, only the slots that it gains or loses change owner.
 */
public fun preferredOwner(
    slot: Int,
    members: Collection<GatewayId>,
): GatewayId? = members.maxWithOrNull(compareBy<GatewayId> { hash64("${it.value}/$slot") }.thenBy { it.value })

/**
 * Returns [targets] in the order of highest-random-weight hashing for [key].
 *
 * Whoever knows the same targets gets the same order, and a target that joins or leaves moves no other one.
 */
public fun rendezvousOrder(
    key: String,
    targets: Collection<TargetId>,
): List<TargetId> {
    val weights = targets.associateWith { hash64("${it.value}/$key") }
    return targets.sortedWith(compareByDescending<TargetId> { weights.getValue(it) }.thenBy { it.value })
}

/** Returns a 64-bit hash of [text] (FNV-1a with a final avalanche step). */
public fun hash64(text: String): Long {
    var hash = FNV_OFFSET
    for (byte in text.encodeToByteArray()) {
        hash = (hash xor byte.toLong()) * FNV_PRIME
    }
    hash = (hash xor (hash ushr AVALANCHE_SHIFT)) * AVALANCHE_FACTOR
    return hash xor (hash ushr AVALANCHE_SHIFT)
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val AVALANCHE_FACTOR = -0xae502812aa7333L
private const val AVALANCHE_SHIFT = 33
