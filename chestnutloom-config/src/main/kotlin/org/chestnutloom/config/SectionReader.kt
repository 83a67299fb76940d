package org.chestnutloom.config

import com.typesafe.config.ConfigList
import com.typesafe.config.ConfigObject
import com.typesafe.config.ConfigValue
import com.typesafe.config.ConfigValueType

/**
 * Reads the settings of one section.
 *
 * A missing or invalid value adds a fault and is replaced by a placeholder, so that one pass finds all faults.
 */
internal class SectionReader(
    private val section: ConfigObject,
    val path: String,
    private val faults: FaultList,
) {
    private val readKeys = mutableSetOf<String>()

    /** Returns the undecoded value of [key], or null if it is missing; the key is not marked as read. */
    fun rawValue(key: String): ConfigValue? = section[key]

    fun pathOf(key: String): String = joinPath(path, key)

    fun addFault(
        key: String,
        problem: String,
    ) {
        faults.add(pathOf(key), section[key], problem)
    }

    fun integer(
        key: String,
        range: LongRange,
        default: Long? = null,
    ): Long {
        val number = number(key, default?.toDouble()) ?: return range.first
        val integer = number.toLong()
        if (integer.toDouble() == number && integer in range) return integer
        addFault(key, "must be a whole number from ${range.first} to ${range.last}")
        return range.first
    }

    fun double(
        key: String,
        default: Double? = null,
        isValid: (Double) -> Boolean,
        rule: String,
    ): Double {
        val number = number(key, default) ?: return 0.0
        if (!isValid(number)) addFault(key, rule)
        return number
    }

    fun boolean(
        key: String,
        default: Boolean?,
    ): Boolean {
        val value = readValue(key, ConfigValueType.BOOLEAN, default != null) ?: return default ?: false
        return value.unwrapped() as Boolean
    }

    fun string(
        key: String,
        default: String? = null,
    ): String {
        val value = readValue(key, ConfigValueType.STRING, default != null) ?: return default.orEmpty()
        return value.unwrapped() as String
    }

    fun strings(
        key: String,
        isOptional: Boolean = false,
    ): List<String> {
        val list = readValue(key, ConfigValueType.LIST, isOptional) as? ConfigList ?: return emptyList()
        val (strings, others) = list.partition { it.valueType() == ConfigValueType.STRING }
        others.forEach { faults.add(pathOf(key), it, "must contain only strings") }
        return strings.map { it.unwrapped() as String }
    }

    /** Returns a reader for each named section below [key]. */
    fun sections(key: String): Map<String, SectionReader> {
        val parent = readValue(key, ConfigValueType.OBJECT, isOptional = true) as? ConfigObject ?: return emptyMap()
        return parent
            .mapNotNull { (name, value) ->
                section(value, joinPath(pathOf(key), name))?.let { name to it }
            }.toMap()
    }

    /** Returns a reader for each section in the list [key]. */
    fun sectionList(key: String): List<SectionReader> {
        val list = readValue(key, ConfigValueType.LIST, isOptional = true) as? ConfigList ?: return emptyList()
        return list.mapIndexedNotNull { index, value -> section(value, "${pathOf(key)}[$index]") }
    }

    /** Returns a reader for the section [key], or for [empty] when the section is missing. */
    fun optionalSection(
        key: String,
        empty: ConfigObject,
    ): SectionReader {
        val value = readValue(key, ConfigValueType.OBJECT, isOptional = true) as? ConfigObject ?: empty
        return SectionReader(value, pathOf(key), faults)
    }

    /** Adds a fault for each key that was not read. */
    fun checkUnknownKeys() {
        (section.keys - readKeys).forEach { addFault(it, "is not a known setting") }
    }

    private fun section(
        value: ConfigValue,
        path: String,
    ): SectionReader? {
        if (value is ConfigObject) return SectionReader(value, path, faults)
        faults.add(path, value, "must be a section")
        return null
    }

    private fun number(
        key: String,
        default: Double?,
    ): Double? {
        val value = readValue(key, ConfigValueType.NUMBER, default != null) ?: return default
        return (value.unwrapped() as Number).toDouble()
    }

    private fun readValue(
        key: String,
        type: ConfigValueType,
        isOptional: Boolean,
    ): ConfigValue? {
        readKeys += key
        val value = section[key]
        when {
            value == null && !isOptional -> faults.add(pathOf(key), null, "is missing")
            value != null && value.valueType() != type -> addFault(key, "must be ${nameOf(type)}")
        }
        return value?.takeIf { it.valueType() == type }
    }

    private fun nameOf(type: ConfigValueType): String =
        when (type) {
            ConfigValueType.OBJECT -> "a section"
            ConfigValueType.LIST -> "a list"
            ConfigValueType.NUMBER -> "a number"
            ConfigValueType.BOOLEAN -> "true or false"
            else -> "a string"
        }
}
