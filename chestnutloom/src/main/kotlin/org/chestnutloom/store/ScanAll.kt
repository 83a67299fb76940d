package org.chestnutloom.store

import arrow.core.Either
import arrow.core.raise.either

private const val PAGE_ROWS = 500

/** Reads all rows whose key starts with [prefix] and is greater than [afterKey], page by page. */
public suspend fun TableStore.scanAll(
    prefix: String,
    afterKey: String? = null,
): Either<StoreFailure, List<Row>> =
    either {
        val rows = mutableListOf<Row>()
        var after = afterKey
        do {
            val page = scan(prefix, after, PAGE_ROWS).bind()
            rows += page.rows
            after = page.rows.lastOrNull()?.key ?: after
        } while (page.hasMore && page.rows.isNotEmpty())
        rows
    }
