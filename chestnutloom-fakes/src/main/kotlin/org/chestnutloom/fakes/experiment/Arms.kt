package org.chestnutloom.fakes.experiment

/** The predefined arms. */
internal object Arms {
    private val FIFO = listOf("--queue-policy", "fifo")

    private val all =
        listOf(
            Arm("random-fifo", listOf("--routing-policy", "random"), FIFO),
            Arm("least-loaded-fifo", listOf("--routing-policy", "least-loaded"), FIFO),
            Arm("static-share", listOf("--rate-policy", "static-share")),
            Arm("chestnutloom"),
        )

    /** The names of all arms in execution order. */
    val names: List<String> = all.map(Arm::name)

    /**
     * Returns the arms called [names].
     *
     * @throws UnknownArmException if there is no arm of one of these names
     */
    fun select(names: List<String>): List<Arm> =
        names.map { name -> all.find { it.name == name } ?: throw UnknownArmException(name) }
}
