package org.chestnutloom.fakes.experiment

import kotlinx.serialization.json.Json
import org.chestnutloom.config.AccessKey
import org.chestnutloom.config.ConfigHead
import org.chestnutloom.config.ConfigRecord
import org.chestnutloom.config.KeyChange
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.store.Condition
import org.chestnutloom.store.RowWrite
import org.chestnutloom.store.Transaction
import java.security.MessageDigest
import java.util.HexFormat

/** Builds the rows of a new environment: its document and one access key for each client account. */
internal class EnvironmentRows(
    private val environment: String,
    private val document: String,
    private val keys: Map<String, AccessKey>,
    private val nowMs: Long,
) {
    /** Returns the transaction that creates the environment; it conflicts if the environment exists. */
    fun transaction(): Transaction {
        val head = ConfigHead.rowKey(environment)
        val writes =
            listOf(RowWrite(head, json.encodeToString(ConfigHead(1, keys.size.toLong())))) + config() + keyRows()
        return Transaction(listOf(Condition(head, Condition.ABSENT)), writes)
    }

    private fun config(): RowWrite {
        val digest = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(document.toByteArray()))
        val record = ConfigRecord(1, digest, document, AUTHOR, nowMs)
        return RowWrite(ConfigRecord.rowKey(environment, 1), json.encodeToString(record))
    }

    private fun keyRows(): List<RowWrite> =
        keys.entries.flatMapIndexed { index, (account, key) ->
            val record = key.toRecord(ClientAccountId(account), nowMs)
            val change = KeyChange(index + 1L, key.id)
            listOf(
                RowWrite("key/$environment/${key.id}", json.encodeToString(record)),
                RowWrite(KeyChange.rowKey(environment, change.version), json.encodeToString(change)),
            )
        }

    private companion object {
        const val AUTHOR = "experiment"
        val json = Json { encodeDefaults = true }
    }
}
