package org.chestnutloom.config

import org.chestnutloom.call.CallKind
import org.chestnutloom.id.ModelName

/**
 * One target.
 *
 * @property kind whether the target is a model engine or a plain service
 * @property models the models that the engine serves; empty for plain services
 * @property maxRunning the most calls that its sidecar runs on it at once
 * @property verifiesOrders whether the engine refuses orders that carry an old fencing number
 */
public data class TargetSettings(
    public val kind: CallKind,
    public val models: List<ModelName>,
    public val maxRunning: Int,
    public val verifiesOrders: Boolean,
)
