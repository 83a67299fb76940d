package org.chestnutloom.gateway.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.chestnutloom.call.Execution
import org.chestnutloom.call.Refusal
import org.chestnutloom.call.RefusalCode
import org.chestnutloom.config.EnvironmentSettings

/** Returns the current settings, or a `gateway_stale` refusal (not run) if none have been read yet. */
internal fun SettingsSource.currentOrRefusal(): Either<Refusal, EnvironmentSettings> =
    current.value?.settings?.right()
        ?: Refusal(RefusalCode.GATEWAY_STALE, Execution.NOT_RUN, "No configuration has been read yet.").left()
