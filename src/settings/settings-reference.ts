/** The settings reference for operators, written from the schema. */
import { z } from 'zod';
import { SETTINGS_RULES } from './settings-rules.js';
import {
  DEFAULT_SERVICE_SETTINGS,
  serviceSettingsSchema,
  type ServiceSettingKey,
} from './service-settings.js';

/** The parts of a key's JSON schema that the reference shows. */
interface SettingShape {
  readonly type?: string;
  readonly enum?: readonly string[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly description?: string;
}

function shapeOf(key: ServiceSettingKey): SettingShape {
  return z.toJSONSchema(serviceSettingsSchema.shape[key]) as SettingShape;
}

function describeValues({ type, enum: choices, minimum, maximum }: SettingShape): string {
  if (choices !== undefined) return choices.map((choice) => `\`${choice}\``).join(', ');
  const kind = type === 'integer' ? 'whole number' : 'number';
  return `${kind}, ${minimum} to ${maximum}`;
}

function describeSetting(key: ServiceSettingKey): string {
  const shape = shapeOf(key);
  const cells = [
    `\`${key}\``,
    describeValues(shape),
    `\`${DEFAULT_SERVICE_SETTINGS[key]}\``,
    shape.description ?? '',
  ];
  return `| ${cells.join(' | ')} |`;
}

const INTRODUCTION = `# Settings of a service

<!-- Written by \`npm run docs\` from src/settings/service-settings.ts; do not edit. -->

Each key can be set for everything (\`defaults\`), a region (\`region/NAME\`), a zone
(\`zone/NAME\`) or a service (\`service/NAME\`). The narrowest level that sets a key wins; a key
that no level sets has its built-in value. See [settings.md](settings.md).
`;

/** Markdown. */
export function settingsReference(): string {
  const keys = serviceSettingsSchema.keyof().options;
  const rows = keys.map(describeSetting);
  const rules = SETTINGS_RULES.map(({ description }) => `- ${description}`);
  return [
    INTRODUCTION,
    '| key | values | built-in | meaning |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
    'Besides the bounds, these rules hold for every service in every zone, and for every zone',
    'taken alone; a change that would break one is refused:',
    '',
    ...rules,
    '',
  ].join('\n');
}
