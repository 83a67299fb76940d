package org.chestnutloom.edge.target

/**
 * Lets programs start while enough slots are free.
 *
 * Engines slow down with each request in their batch. The remaining slots are reserved for the next turns of the
 * programs in progress, so that these complete in time.
 */
internal object FreeSlotAdmission : ProgramAdmission {
    /** The fraction of the targets' slots up to which programs may start. */
    private const val START_SLOT_FRACTION = 0.5

    override fun canStart(
        required: TargetRequirements,
        usable: List<Target>,
    ): Boolean = usable.sumOf { it.load } < usable.sumOf { it.entry.slots } * START_SLOT_FRACTION
}
