package org.chestnutloom.gateway.control

import kotlinx.coroutines.flow.StateFlow

/** Provides the current configuration. */
public interface SettingsSource {
    /** The current configuration, or null until a version has been read. Versions never decrease. */
    public val current: StateFlow<VersionedSettings?>
}
