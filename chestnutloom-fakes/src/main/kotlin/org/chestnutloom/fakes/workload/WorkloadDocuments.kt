package org.chestnutloom.fakes.workload

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.readText

/** Loads workload documents. */
internal object WorkloadDocuments {
    @OptIn(ExperimentalSerializationApi::class)
    private val json =
        Json {
            allowComments = true
            allowTrailingComma = true
        }

    /** Returns the bundled workload called [nameOrFile], or else the one in the file of that name. */
    fun load(nameOrFile: String): Workload = json.decodeFromString(text(nameOrFile))

    private fun text(nameOrFile: String): String {
        val resource = javaClass.getResource("/workloads/$nameOrFile.json")
        if (resource != null) return resource.readText()
        val file = Path.of(nameOrFile)
        if (!Files.exists(file)) throw UnknownWorkloadException(nameOrFile)
        return file.readText()
    }
}
