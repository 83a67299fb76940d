package org.chestnutloom.integration.benchmark

/**
 * The classes that a JVM has loaded.
 *
 * @property outsideArchive the number of classes that are not in the class archive
 */
internal data class LoadedClasses(
    val total: Int,
    val outsideArchive: Int,
)
