package org.chestnutloom.cli.command

import arrow.core.Either
import arrow.core.raise.either
import org.chestnutloom.cli.Command
import org.chestnutloom.cli.CommandContext
import org.chestnutloom.cli.CommandFailure
import org.chestnutloom.cli.CommandResult
import org.chestnutloom.cli.jsonOf
import org.chestnutloom.cli.store.DrainRecord
import org.chestnutloom.config.ConfigHead
import org.chestnutloom.lease.LeaseRecord
import org.chestnutloom.store.VmEntry

/** Shows the current versions, the gateways, the drained targets and the VM list. */
internal object StatusCommand : Command {
    override val name: String = "status"
    override val description: String = "shows versions, gateways, drained targets and, with --vm-list-url, the VM list"

    override suspend fun run(context: CommandContext): Either<CommandFailure, CommandResult> =
        either {
            val head =
                context.store
                    .readHead()
                    .bind()
                    .head
            val gateways =
                context.store
                    .readAll(
                        LeaseRecord.prefix(context.environment),
                        LeaseRecord.serializer(),
                    ).bind()
            val prefix = DrainRecord.prefix(context.environment)
            val drained =
                context.store
                    .readRows(prefix)
                    .bind()
                    .map { it.key.removePrefix(prefix) }
            val vms = context.vmList?.read()?.getOrNull()
            CommandResult(lines(context, head, gateways, drained, vms), json(context, head, gateways, drained, vms))
        }

    private fun lines(
        context: CommandContext,
        head: ConfigHead,
        gateways: List<LeaseRecord>,
        drained: List<String>,
        vms: List<VmEntry>?,
    ): List<String> {
        val first = "${context.environment} config_version=${head.configVersion} key_version=${head.keyVersion}"
        val gatewayLines =
            gateways.map {
                "gateway ${it.id} state=${it.state} config_version=${it.configVersion} key_version=${it.keyVersion}"
            }
        val vmLines = vms.orEmpty().map { "vm ${it.id} role=${it.role} state=${it.state} domain=${it.failureDomain}" }
        val vmNote = if (context.vmList != null && vms == null) listOf("the VM list is unavailable") else emptyList()
        return listOf(first) + gatewayLines + drained.map { "drained $it" } + vmLines + vmNote
    }

    private fun json(
        context: CommandContext,
        head: ConfigHead,
        gateways: List<LeaseRecord>,
        drained: List<String>,
        vms: List<VmEntry>?,
    ) = jsonOf(
        "environment" to context.environment,
        "config_version" to head.configVersion,
        "key_version" to head.keyVersion,
        "gateways" to gateways.map { jsonOfGateway(it) },
        "drained" to drained,
        "vms" to vms?.map { jsonOfVm(it) },
    )

    private fun jsonOfGateway(gateway: LeaseRecord) =
        jsonOf(
            "id" to gateway.id,
            "state" to gateway.state,
            "config_version" to gateway.configVersion,
            "key_version" to gateway.keyVersion,
        )

    private fun jsonOfVm(vm: VmEntry) =
        jsonOf("id" to vm.id, "role" to vm.role, "state" to vm.state, "failure_domain" to vm.failureDomain)
}
