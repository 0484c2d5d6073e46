/**
 * Lists the settings that a schema allows, to check the operators' page against
 * them.
 */
import * as z from 'zod';
import {formatKeyPath} from '../protocol/settings.js';

/** A setting as the page must show it. */
export interface SettingRow {
  /** Path of keys as in the settings file; `NAME` stands for any name. */
  readonly key: string;
  readonly defaultValue: string;
  readonly allowed: string;
}

interface JsonSchema {
  readonly type?: string;
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
  readonly additionalProperties?: JsonSchema | boolean;
  readonly items?: JsonSchema;
  readonly enum?: readonly string[];
  readonly allowed?: string;
  readonly minimum?: number;
  readonly maximum?: number;
}

/** Lists all settings in the order of the schema. */
export function listSettingRows(schema: z.ZodType): SettingRow[] {
  const json = z.toJSONSchema(schema, {io: 'input', unrepresentable: 'any'});
  return listRows(json as JsonSchema, [], true);
}

function listRows(
  schema: JsonSchema,
  path: readonly string[],
  isRequired: boolean,
): SettingRow[] {
  if (schema.properties) {
    return Object.entries(schema.properties).flatMap(([name, part]) => {
      const isPartRequired = schema.required?.includes(name) ?? false;
      return listRows(part, [...path, name], isPartRequired);
    });
  }
  if (typeof schema.additionalProperties === 'object') {
    return listRows(schema.additionalProperties, [...path, 'NAME'], true);
  }
  if (schema.items?.properties) {
    return listRows(schema.items, path, false);
  }
  const key = formatKeyPath(path).replaceAll('_n_a_m_e', 'NAME');
  const absentDefault = isRequired ? 'required' : 'none';
  const defaultValue =
    schema.default === undefined
      ? absentDefault
      : JSON.stringify(schema.default);
  return [{key, defaultValue, allowed: formatAllowed(schema)}];
}

function formatAllowed(schema: JsonSchema): string {
  if (schema.allowed) return schema.allowed;
  if (schema.enum) return schema.enum.join(', ');
  const {minimum, maximum} = schema;
  const isBounded = minimum !== undefined && maximum !== undefined;
  return isBounded ? `${minimum} to ${maximum}` : (schema.type ?? 'any');
}
