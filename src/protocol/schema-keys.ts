/**
 * Lists the keys that a schema allows at a path, so that an error message can
 * name them. Optional values, defaults and refinements are unwrapped.
 */
import * as z from 'zod';

/** Properties of a schema's definition that contain another schema. */
interface NestedSchemas {
  readonly innerType?: z.ZodType;
  readonly in?: z.ZodType;
  readonly element?: z.ZodType;
  readonly valueType?: z.ZodType;
}

/** Lists the keys allowed at a path; undefined if it is not of an object. */
export function listAllowedKeys(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): string[] | undefined {
  let current: z.ZodType | undefined = toBareSchema(schema);
  for (const key of path) {
    if (!current) return undefined;
    const next = findNested(current, key);
    current = next && toBareSchema(next);
  }
  return current instanceof z.ZodObject
    ? Object.keys(current.shape as object)
    : undefined;
}

/** Returns the schema inside all wrappers, such as optional or default. */
function toBareSchema(schema: z.ZodType): z.ZodType {
  const {innerType, in: input} = schema.def as NestedSchemas;
  const wrapped = innerType ?? input;
  return wrapped ? toBareSchema(wrapped) : schema;
}

function findNested(
  schema: z.ZodType,
  key: PropertyKey,
): z.ZodType | undefined {
  if (schema instanceof z.ZodObject) {
    return (schema.shape as Record<PropertyKey, z.ZodType>)[key];
  }
  const {element, valueType} = schema.def as NestedSchemas;
  return element ?? valueType;
}
