package org.chestnutloom.fakes.launch

import java.io.File
import java.net.URI
import java.nio.file.Path
import java.util.jar.Attributes
import java.util.jar.JarFile
import kotlin.io.path.toPath

/** Returns the class path of the current process, even if Surefire replaced it by a jar with a manifest. */
internal fun currentClassPath(): String =
    listOfNotNull(System.getProperty("surefire.test.class.path"), System.getProperty("java.class.path"))
        .map(::expand)
        .maxBy(List<String>::size)
        .joinToString(File.pathSeparator)

private fun expand(classPath: String): List<String> =
    classPath
        .split(File.pathSeparator)
        .filter(String::isNotEmpty)
        .flatMap { listOf(it) + manifestClassPath(it) }
        .distinct()

/** Returns the class path entries in the manifest of the jar [entry]. */
private fun manifestClassPath(entry: String): List<String> {
    val file = File(entry)
    if (!file.isFile || !entry.endsWith(".jar")) return emptyList()
    val value = JarFile(file).use { it.manifest?.mainAttributes?.getValue(Attributes.Name.CLASS_PATH) }
    return value
        .orEmpty()
        .split(' ')
        .filter(String::isNotEmpty)
        .map { resolve(file.toURI(), it) }
        .filter { it.toFile().exists() }
        .map(Path::toString)
}

private fun resolve(
    jar: URI,
    entry: String,
): Path = jar.resolve(entry).toPath()
