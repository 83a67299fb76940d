package org.chestnutloom.cli

import org.chestnutloom.cli.command.AccountListCommand
import org.chestnutloom.cli.command.ApplyCommand
import org.chestnutloom.cli.command.Changes
import org.chestnutloom.cli.command.DiffCommand
import org.chestnutloom.cli.command.DrainCommand
import org.chestnutloom.cli.command.HistoryCommand
import org.chestnutloom.cli.command.KeyCreateCommand
import org.chestnutloom.cli.command.KeyListCommand
import org.chestnutloom.cli.command.KeyWithdrawCommand
import org.chestnutloom.cli.command.ProgramShowCommand
import org.chestnutloom.cli.command.PromoteCommand
import org.chestnutloom.cli.command.StatusCommand
import org.chestnutloom.cli.command.ValidateCommand

/** Returns every command of the tool. */
internal fun allCommands(changes: Changes): List<Command> =
    listOf(
        ValidateCommand,
        DiffCommand,
        ApplyCommand(changes),
        PromoteCommand(changes),
        HistoryCommand,
        AccountListCommand,
        KeyCreateCommand(changes),
        KeyWithdrawCommand(changes),
        KeyListCommand,
        StatusCommand,
        ProgramShowCommand,
        DrainCommand,
    )
