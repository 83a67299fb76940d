package org.chestnutloom.config

import org.chestnutloom.call.CallKind
import org.chestnutloom.id.ModelName

/**
 * Settings of one target.
 *
 * @property kind whether the target is a model engine or a service
 * @property models the models that the engine serves; empty for services
 * @property maxRunning the maximum number of calls that its sidecar runs concurrently
 * @property verifiesOrders whether the engine rejects orders that carry an outdated fencing token
 */
public data class TargetSettings(
    public val kind: CallKind,
    public val models: List<ModelName>,
    public val maxRunning: Int,
    public val verifiesOrders: Boolean,
)
