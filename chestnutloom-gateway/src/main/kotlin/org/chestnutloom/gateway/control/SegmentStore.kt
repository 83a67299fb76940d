package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.raise.either
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import org.chestnutloom.gateway.GatewaySettings
import org.chestnutloom.id.Incarnation
import org.chestnutloom.store.ObjectStore
import org.chestnutloom.store.StoreFailure
import org.chestnutloom.store.rowJson
import java.util.concurrent.atomic.AtomicLong

/** Stores turn records in the object store, with all records of one group commit in one segment object. */
internal class SegmentStore(
    private val settings: GatewaySettings,
    private val objects: ObjectStore,
) {
    private val nextSequence = AtomicLong(1)
    private val cache = LruMap<String, JsonArray>(MAX_CACHED_SEGMENTS)

    /** Stores [records] as a new segment and returns its name. */
    suspend fun put(
        incarnation: Incarnation,
        records: List<JsonElement>,
    ): Either<StoreFailure, String> =
        either {
            val sequence = nextSequence.getAndIncrement()
            val name = "segment/${settings.environment}/${settings.id}/$incarnation/$sequence"
            val segment = JsonArray(records)
            val bytes = rowJson.encodeToString(segment).encodeToByteArray()
            objects.put(name, bytes).bind()
            if (bytes.size <= MAX_CACHED_SEGMENT_BYTES) synchronized(cache) { cache[name] = segment }
            name
        }

    /** Returns the record at [position]. */
    suspend fun get(position: TurnPosition): Either<StoreFailure, JsonElement> =
        either {
            val cached = synchronized(cache) { cache[position.segment] }
            val segment = cached ?: read(position.segment).bind()
            segment.getOrNull(position.index) ?: raise(StoreFailure.Malformed("no record at $position"))
        }

    private suspend fun read(name: String): Either<StoreFailure, JsonArray> =
        either {
            val bytes = objects.get(name).bind() ?: raise(StoreFailure.Malformed("segment object $name is missing"))
            try {
                rowJson.decodeFromString<JsonArray>(bytes.decodeToString())
            } catch (exception: SerializationException) {
                raise(StoreFailure.Malformed("segment object $name is not valid JSON: ${exception.message}"))
            }
        }

    private companion object {
        const val MAX_CACHED_SEGMENTS = 64
        const val MAX_CACHED_SEGMENT_BYTES = 128 * 1024
    }
}
