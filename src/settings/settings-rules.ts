/** Rules that bind several keys of one service's settings. */
import { serviceSettingsSchema, type ServiceSettings } from './service-settings.js';

/** One rule: holds or not, and how to say it. */
export interface SettingsRule {
  readonly description: string;
  readonly holds: (settings: ServiceSettings) => boolean;
}

export const SETTINGS_RULES: readonly SettingsRule[] = [
  {
    description: 'defaultDeadlineMs is at most maximumDeadlineMs',
    holds: (settings) => settings.defaultDeadlineMs <= settings.maximumDeadlineMs,
  },
  {
    description: 'hedging other than none needs maximumAttemptsPerShard of at least 2',
    holds: (settings) => settings.hedging === 'none' || settings.maximumAttemptsPerShard >= 2,
  },
];

/** The first thing wrong with a full set of settings, or undefined. */
export function settingsProblem(settings: ServiceSettings): string | undefined {
  const parsed = serviceSettingsSchema.safeParse(settings);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    return `${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'not valid'}`;
  }
  const broken = SETTINGS_RULES.find((rule) => !rule.holds(settings));
  return broken === undefined ? undefined : `breaks the rule: ${broken.description}`;
}
