package org.chestnutloom.config

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ModelName
import org.chestnutloom.id.TargetId

/** The decoded and validated settings of one environment document. */
public data class EnvironmentSettings(
    public val accounts: ImmutableMap<ClientAccountId, AccountSettings>,
    public val models: ImmutableMap<ModelName, ModelSettings>,
    public val services: ImmutableMap<String, ServiceSettings>,
    public val targets: ImmutableMap<TargetId, TargetSettings>,
    public val openRoutes: ImmutableList<OpenRoute>,
    public val limits: LimitSettings,
)
