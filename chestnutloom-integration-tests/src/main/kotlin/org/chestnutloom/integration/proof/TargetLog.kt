package org.chestnutloom.integration.proof

import kotlinx.serialization.json.Json
import org.chestnutloom.fakes.record.RequestRecord
import org.chestnutloom.fakes.record.RequestRecords
import org.chestnutloom.integration.fleet.Fleet
import org.chestnutloom.integration.fleet.TargetProcess

private val json = Json { ignoreUnknownKeys = true }

/** Returns all requests that [target] received since it started. */
suspend fun Fleet.requestsOf(target: TargetProcess): List<RequestRecord> =
    json.decodeFromString<RequestRecords>(admin.text("${target.directUrl}/admin/log")).requests

/** Returns all requests that [targets] received since they started. */
suspend fun Fleet.requestsOf(targets: List<TargetProcess>): List<RequestRecord> = targets.flatMap { requestsOf(it) }
