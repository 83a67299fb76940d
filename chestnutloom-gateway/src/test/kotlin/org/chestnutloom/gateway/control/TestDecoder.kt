package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.chestnutloom.config.AccountSettings
import org.chestnutloom.config.DocumentDecoder
import org.chestnutloom.config.DocumentFault
import org.chestnutloom.config.EnvironmentSettings
import org.chestnutloom.config.LimitSettings
import org.chestnutloom.id.ClientAccountId
import kotlin.time.Duration.Companion.seconds

/** Decodes space-separated `account=rate/burst` entries; the document `broken` is faulty. */
internal object TestDecoder : DocumentDecoder {
    private val limits = LimitSettings(1, 1.seconds, 1.seconds, 1.seconds, 1.seconds, 1.seconds, 0.1)

    override fun decode(text: String): Either<ImmutableList<DocumentFault>, EnvironmentSettings> {
        if (text == "broken") return persistentListOf(DocumentFault("accounts", 1, "broken")).left()
        val accounts =
            text.split(' ').associate {
                val (name, rate, burst) = it.split('=', '/')
                ClientAccountId(name) to AccountSettings(rate.toDouble(), burst.toInt(), 1)
            }
        return EnvironmentSettings(
            accounts.toPersistentMap(),
            persistentMapOf(),
            persistentMapOf(),
            persistentMapOf(),
            persistentListOf(),
            limits,
        ).right()
    }
}
