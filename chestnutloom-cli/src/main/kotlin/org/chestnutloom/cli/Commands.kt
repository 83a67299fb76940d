package org.chestnutloom.cli

import org.chestnutloom.cli.command.AccountListCommand
import org.chestnutloom.cli.command.ApplyCommand
import org.chestnutloom.cli.command.ChangeService
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

/** Returns all commands of the tool. */
internal fun allCommands(changeService: ChangeService): List<Command> =
    listOf(
        ValidateCommand,
        DiffCommand,
        ApplyCommand(changeService),
        PromoteCommand(changeService),
        HistoryCommand,
        AccountListCommand,
        KeyCreateCommand(changeService),
        KeyWithdrawCommand(changeService),
        KeyListCommand,
        StatusCommand,
        ProgramShowCommand,
        DrainCommand,
    )
