package org.chestnutloom.gateway.control

import kotlinx.coroutines.flow.StateFlow

/** Supplies the configuration in force. */
public interface SettingsSource {
    /** The configuration in force; null until the first version has been read. Versions only grow. */
    public val current: StateFlow<VersionedSettings?>
}
