/* json_lint.c -- detects errors in JSON with comments that json-c accepts
 *
 * A scanner splits the text into strings and punctuation and skips comments.  A
 * string followed by a colon is a key of the innermost open object.
 */
#include "config/json_lint.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  const char *text;
  size_t size;
  size_t position;
} scanner_t;

static bool
starts_with (const scanner_t *scanner, const char *prefix)
{
  size_t length = strlen (prefix);
  return scanner->size - scanner->position >= length
         && memcmp (scanner->text + scanner->position, prefix, length) == 0;
}

/* Advances past the next occurrence of END, or to the end of the text. */
static void
skip_past (scanner_t *scanner, const char *end)
{
  while (scanner->position < scanner->size && !starts_with (scanner, end))
    scanner->position++;
  scanner->position = MIN (scanner->size, scanner->position + strlen (end));
}

static void
skip_blank (scanner_t *scanner)
{
  while (scanner->position < scanner->size)
    {
      if (starts_with (scanner, "//"))
        skip_past (scanner, "\n");
      else if (starts_with (scanner, "/*"))
        {
          scanner->position += 2;
          skip_past (scanner, "*/");
        }
      else if (g_ascii_isspace (scanner->text[scanner->position]))
        scanner->position++;
      else
        return;
    }
}

/* Advances past the string that begins at the current position.  Returns its
 * content with escape sequences unchanged; the caller frees it (g_free). */
static char *
scan_string (scanner_t *scanner)
{
  size_t begin = ++scanner->position;
  while (scanner->position < scanner->size && scanner->text[scanner->position] != '"')
    scanner->position += scanner->text[scanner->position] == '\\' ? 2 : 1;
  size_t end = MIN (scanner->position, scanner->size);
  scanner->position = MIN (end + 1, scanner->size);
  return g_strndup (scanner->text + begin, end - begin);
}

/* Advances past a string.  If it is a key, adds it to KEYS, or returns it if KEYS
 * already contains it; the caller frees it (g_free).  KEYS is NULL outside
 * objects. */
static char *
scan_key (scanner_t *scanner, GHashTable *keys)
{
  char *string = scan_string (scanner);
  skip_blank (scanner);
  bool is_key =
      keys && scanner->position < scanner->size && scanner->text[scanner->position] == ':';
  if (!is_key)
    {
      g_free (string);
      return NULL;
    }
  if (g_hash_table_contains (keys, string))
    return string;
  g_hash_table_add (keys, string);
  return NULL;
}

static GHashTable *
keys_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

char *
config_json_duplicate_key (const char *text, size_t size)
{
  scanner_t scanner = { text, size, 0 };
  GPtrArray *objects = g_ptr_array_new_with_free_func ((GDestroyNotify) g_hash_table_unref);
  char *duplicate = NULL;
  for (skip_blank (&scanner); scanner.position < size && duplicate == NULL; skip_blank (&scanner))
    {
      char c = text[scanner.position];
      if (c == '"')
        {
          duplicate =
              scan_key (&scanner, objects->len > 0 ? objects->pdata[objects->len - 1] : NULL);
          continue;
        }
      if (c == '{')
        g_ptr_array_add (objects, keys_new ());
      else if (c == '}' && objects->len > 0)
        g_ptr_array_remove_index (objects, objects->len - 1);
      scanner.position++;
    }
  g_ptr_array_unref (objects);
  return duplicate;
}

bool
config_json_has_single_quotes (const char *text, size_t size)
{
  scanner_t scanner = { text, size, 0 };
  for (skip_blank (&scanner); scanner.position < size; skip_blank (&scanner))
    {
      if (text[scanner.position] == '\'')
        return true;
      if (text[scanner.position] == '"')
        g_free (scan_string (&scanner));
      else
        scanner.position++;
    }
  return false;
}

bool
config_json_is_blank (const char *text, size_t size)
{
  scanner_t scanner = { text, size, 0 };
  skip_blank (&scanner);
  return scanner.position == size;
}
