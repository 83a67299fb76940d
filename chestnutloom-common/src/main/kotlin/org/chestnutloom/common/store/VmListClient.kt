package org.chestnutloom.common.store

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import io.ktor.http.HttpMethod
import kotlinx.serialization.Serializable
import org.chestnutloom.common.http.HttpServiceClient
import org.chestnutloom.common.http.decode
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.VmEntry
import org.chestnutloom.store.VmList
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns a client for the platform's VM list at [url] that limits each request to [timeout]. */
public fun vmListClient(
    url: String,
    timeout: Duration = 1.seconds,
): VmList = VmListClient(HttpServiceClient(url, timeout))

private class VmListClient(
    private val http: HttpServiceClient,
) : VmList {
    override suspend fun read(): Either<StoreFailure, List<VmEntry>> =
        http.json(HttpMethod.Get, "/v1/vms").orUnavailable().flatMap { response ->
            if (response.status == STATUS_OK) {
                response.decode(VmListResponse.serializer()).map { it.vms }
            } else {
                readFailure(response.status).left()
            }
        }

    @Serializable
    private data class VmListResponse(
        val vms: List<VmEntry>,
    )

    private companion object {
        private const val STATUS_OK = 200
    }
}
