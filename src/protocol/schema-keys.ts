/**
 * Finds the keys that a schema allows at a path, so that a fault can name
 * them. It looks through optional values, defaults and refinements.
 */
import * as z from 'zod';

/** Parts of a schema's definition that lead to another schema. */
interface NestedSchemas {
  readonly innerType?: z.ZodType;
  readonly in?: z.ZodType;
  readonly element?: z.ZodType;
  readonly valueType?: z.ZodType;
}

/** Keys allowed at a path; undefined when no object is expected there. */
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

/** Removes what only wraps a schema. */
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
