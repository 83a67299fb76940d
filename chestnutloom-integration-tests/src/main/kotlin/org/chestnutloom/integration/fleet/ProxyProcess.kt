package org.chestnutloom.integration.fleet

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put

/** The process of the fault-injecting proxy. */
class ProxyProcess(
    private val process: StandInProcess,
    private val admin: StandInAdminClient,
) {
    private val ports = java.util.concurrent.ConcurrentHashMap<String, Int>()

    /** Returns the port of link [name] to [targetPort], creating the link on first use. */
    suspend fun link(
        name: String,
        targetPort: Int,
    ): Int {
        ports[name]?.let { return it }
        val body =
            buildJsonObject {
                put("name", name)
                put("listenPort", 0)
                put("targetHost", Fleet.HOST)
                put("targetPort", targetPort)
            }
        val response = Json.parseToJsonElement(admin.post("${process.url}/admin/links", body)).jsonObject
        val port =
            response
                .getValue("port")
                .jsonPrimitive.content
                .toInt()
        ports[name] = port
        return port
    }

    /** Sets the fault [mode] of link [name]; `pass` removes the fault. */
    suspend fun setFault(
        name: String,
        mode: String,
        delayMs: Long = 0,
        count: Int? = null,
        afterBytes: Long? = null,
        direction: String? = null,
        match: String? = null,
    ) {
        val body =
            buildJsonObject {
                put("mode", mode)
                put("delayMs", delayMs)
                count?.let { put("count", it) }
                afterBytes?.let { put("afterBytes", it) }
                direction?.let { put("direction", it) }
                match?.let { put("match", it) }
            }
        admin.post("${process.url}/admin/links/$name/fault", body)
    }
}
