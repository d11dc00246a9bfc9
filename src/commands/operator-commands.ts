/** Every command that talks to the administration API. */
import type { CommandClass } from 'clipanion';
import { ChangesShowCommand } from './operator-changes-show.js';
import {
  EvacuationsEndCommand,
  EvacuationsListCommand,
  EvacuationsStartCommand,
} from './operator-evacuations.js';
import {
  MembersAddCommand,
  MembersPromoteCommand,
  MembersRemoveCommand,
} from './operator-members.js';
import { QuarantineLiftCommand, QuarantineListCommand } from './operator-quarantine.js';
import { ServicesCreateCommand } from './operator-services-create.js';
import { ServicesListCommand } from './operator-services-list.js';
import { ServicesRemoveCommand } from './operator-services-remove.js';
import {
  ServicesDropLayoutCommand,
  ServicesRepartitionCommand,
} from './operator-services-repartition.js';
import {
  ServicesAddReplicaCommand,
  ServicesRemoveReplicaCommand,
} from './operator-services-replicas.js';
import { ServicesShowCommand } from './operator-services-show.js';
import { SettingsApplyCommand } from './operator-settings-apply.js';
import { SettingsDiffCommand } from './operator-settings-diff.js';
import { SettingsExplainCommand } from './operator-settings-explain.js';
import { SettingsHistoryCommand } from './operator-settings-history.js';
import { SettingsSetCommand } from './operator-settings-set.js';
import { SettingsUnsetCommand } from './operator-settings-unset.js';
import { StatusCommand } from './operator-status.js';
import { TenantsExplainCommand, TenantsListCommand } from './operator-tenants.js';
import { TenantsUsageCommand } from './operator-tenants-usage.js';
import { TokensCreateCommand, TokensListCommand, TokensRevokeCommand } from './operator-tokens.js';

export const OPERATOR_COMMANDS: readonly CommandClass[] = [
  StatusCommand,
  MembersAddCommand,
  MembersPromoteCommand,
  MembersRemoveCommand,
  EvacuationsStartCommand,
  EvacuationsEndCommand,
  EvacuationsListCommand,
  QuarantineListCommand,
  QuarantineLiftCommand,
  SettingsExplainCommand,
  SettingsSetCommand,
  SettingsUnsetCommand,
  SettingsApplyCommand,
  SettingsDiffCommand,
  SettingsHistoryCommand,
  ChangesShowCommand,
  ServicesListCommand,
  ServicesShowCommand,
  ServicesCreateCommand,
  ServicesRemoveCommand,
  ServicesRepartitionCommand,
  ServicesDropLayoutCommand,
  ServicesAddReplicaCommand,
  ServicesRemoveReplicaCommand,
  TenantsListCommand,
  TenantsExplainCommand,
  TenantsUsageCommand,
  TokensCreateCommand,
  TokensRevokeCommand,
  TokensListCommand,
];
