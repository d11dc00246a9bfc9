/** The settings reference for operators, written from the schema. */
import { describeValues, settingShape } from './setting-shape.js';
import { SETTINGS_RULES } from './settings-rules.js';
import {
  DEFAULT_SERVICE_SETTINGS,
  serviceSettingsSchema,
  type ServiceSettingKey,
} from './service-settings.js';

function describeSetting(key: ServiceSettingKey): string {
  const cells = [
    `\`${key}\``,
    describeValues(key, (choice) => `\`${choice}\``),
    `\`${DEFAULT_SERVICE_SETTINGS[key]}\``,
    settingShape(key).description ?? '',
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
